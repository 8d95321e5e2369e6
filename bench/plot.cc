#include "bench/plot.h"

#include <algorithm>
#include <cstdio>
#include <fstream>

namespace chervilspar::bench {

namespace {

constexpr int kLabelWidth = 200;
constexpr int kPanelWidth = 220;
constexpr int kPanelGap = 30;
constexpr int kRowHeight = 24;
constexpr int kTop = 60;

std::string Short(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3g", value);
  return text;
}

double Largest(const std::vector<PlotRow>& rows, std::size_t panel) {
  double largest = 0.0;
  for (const PlotRow& row : rows) {
    for (const double value : row.series[panel].values) {
      largest = std::max(largest, value);
    }
  }
  return largest > 0.0 ? largest : 1.0;
}

void WritePanel(std::ofstream& out, const std::vector<PlotRow>& rows, std::size_t panel) {
  const double left = kLabelWidth + static_cast<double>(panel) * (kPanelWidth + kPanelGap);
  const double scale = kPanelWidth / Largest(rows, panel);
  out << "<text x='" << left << "' y='40'>" << rows[0].series[panel].name << "</text>\n"
      << "<text x='" << left + kPanelWidth << "' y='55' text-anchor='end' font-size='10'>"
      << Short(Largest(rows, panel)) << "</text>\n";
  for (std::size_t row = 0; row < rows.size(); ++row) {
    const int y = kTop + static_cast<int>(row) * kRowHeight + kRowHeight / 2;
    out << "<line x1='" << left << "' y1='" << y << "' x2='" << left + kPanelWidth << "' y2='" << y
        << "' stroke='#ddd'/>\n";
    for (const double value : rows[row].series[panel].values) {
      out << "<circle cx='" << left + value * scale << "' cy='" << y
          << "' r='3' fill='#246' fill-opacity='0.4'/>\n";
    }
  }
}

}  // namespace

void WriteDotPlot(const std::string& path, const std::string& title,
                  const std::vector<PlotRow>& rows) {
  if (rows.empty() || rows[0].series.empty()) {
    return;
  }
  const std::size_t panels = rows[0].series.size();
  const std::size_t width = kLabelWidth + panels * (kPanelWidth + kPanelGap);
  const std::size_t height = kTop + rows.size() * kRowHeight + 20;
  std::ofstream out(path);
  out << "<svg xmlns='http://www.w3.org/2000/svg' width='" << width << "' height='" << height
      << "' font-family='sans-serif' font-size='12'>\n"
      << "<rect width='100%' height='100%' fill='white'/>\n"
      << "<text x='10' y='20' font-size='16'>" << title << "</text>\n";
  for (std::size_t row = 0; row < rows.size(); ++row) {
    out << "<text x='10' y='" << kTop + row * kRowHeight + kRowHeight / 2 + 4 << "'>"
        << rows[row].label << "</text>\n";
  }
  for (std::size_t panel = 0; panel < panels; ++panel) {
    WritePanel(out, rows, panel);
  }
  out << "</svg>\n";
}

}  // namespace chervilspar::bench
