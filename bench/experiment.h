#pragma once

#include <cstdint>
#include <string>

namespace chervilspar::bench {

/// What the command line of the bench asks for.
struct Options {
  std::uint64_t seed = 1;
  /// How many seeds, counted up from `seed`.
  std::uint64_t seeds = 1;
  /// Teams and workers; zero means the pattern's own sizes.
  std::uint32_t teams = 0;
  std::uint32_t workers = 0;
  /// Folder for JSON lines and plots.
  std::string out_dir = "bench-out";
};

/// One pattern of load. Runs the product's decision modules and the plain baselines on the same
/// seeds, prints a table and writes JSON lines.
class Experiment {
 public:
  virtual ~Experiment() = default;
  /// The name for `--pattern`.
  virtual std::string Name() const = 0;
  virtual void Run(const Options& options) = 0;
};

}  // namespace chervilspar::bench
