#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace chervilspar::rpc {

constexpr std::size_t kFrameHeaderBytes = 4;

using FrameHeader = std::array<unsigned char, kFrameHeaderBytes>;

inline FrameHeader EncodeFrameHeader(std::uint32_t length) {
  return {static_cast<unsigned char>(length >> 24U), static_cast<unsigned char>(length >> 16U),
          static_cast<unsigned char>(length >> 8U), static_cast<unsigned char>(length)};
}

inline std::uint32_t DecodeFrameHeader(const FrameHeader& header) {
  std::uint32_t length = 0;
  for (const unsigned char byte : header) {
    length = (length << 8U) | byte;
  }
  return length;
}

}  // namespace chervilspar::rpc
