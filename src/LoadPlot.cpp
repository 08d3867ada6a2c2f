// Line plots as SVG documents.
#include "LoadPlot.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <sstream>

namespace sycamore {
namespace {

constexpr double Width = 760;
constexpr double Height = 400;
constexpr double Left = 70;
constexpr double Right = 190; ///< Room for the legend.
constexpr double Top = 40;
constexpr double Bottom = 50;

constexpr std::array<const char *, 8> Colours = {
    "#1f77b4", "#d62728", "#2ca02c", "#ff7f0e",
    "#9467bd", "#8c564b", "#17becf", "#7f7f7f"};

/// Maps values of an axis to positions on the page.
class Scale {
public:
  Scale(const PlotAxis &Axis, double From, double To)
      : Logarithmic_(Axis.Logarithmic_), From_(From), To_(To),
        Low_(transform(Axis.Ticks_.front().first)),
        High_(transform(Axis.Ticks_.back().first)) {}

  double operator()(double Value) const {
    double Fraction = (transform(Value) - Low_) / (High_ - Low_);
    return From_ + (To_ - From_) * std::clamp(Fraction, 0.0, 1.0);
  }

private:
  double transform(double Value) const {
    return Logarithmic_ ? std::log10(std::max(Value, 1e-12)) : Value;
  }

  bool Logarithmic_;
  double From_;
  double To_;
  double Low_;
  double High_;
};

void drawText(std::ostream &Out, double X, double Y, const char *Anchor,
              const std::string &Content) {
  Out << "<text x=\"" << X << "\" y=\"" << Y << "\" text-anchor=\"" << Anchor
      << "\">" << escapeMarkup(Content) << "</text>\n";
}

void drawLine(std::ostream &Out, double X1, double Y1, double X2, double Y2,
              const char *Colour) {
  Out << "<line x1=\"" << X1 << "\" y1=\"" << Y1 << "\" x2=\"" << X2
      << "\" y2=\"" << Y2 << "\" stroke=\"" << Colour << "\"/>\n";
}

void drawAxes(std::ostream &Out, const PlotAxis &X, const PlotAxis &Y,
              const Scale &ToX, const Scale &ToY) {
  constexpr double Gap = 16;
  for (const auto &[Value, Label] : X.Ticks_) {
    drawLine(Out, ToX(Value), Top, ToX(Value), Height - Bottom, "#dddddd");
    drawText(Out, ToX(Value), Height - Bottom + Gap, "middle", Label);
  }
  for (const auto &[Value, Label] : Y.Ticks_) {
    drawLine(Out, Left, ToY(Value), Width - Right, ToY(Value), "#dddddd");
    drawText(Out, Left - 6, ToY(Value) + 4, "end", Label);
  }
  drawText(Out, (Left + Width - Right) / 2, Height - 12, "middle", X.Label_);
  Out << "<text transform=\"translate(14 " << (Top + Height - Bottom) / 2
      << ") rotate(-90)\" text-anchor=\"middle\">" << escapeMarkup(Y.Label_)
      << "</text>\n";
}

void drawSeries(std::ostream &Out, const PlotSeries &Series, std::size_t Index,
                const Scale &ToX, const Scale &ToY) {
  const char *Colour = Colours[Index % Colours.size()];
  const char *Dash = Series.Dashed_ ? " stroke-dasharray=\"5 3\"" : "";
  Out << "<polyline fill=\"none\" stroke-width=\"1.5\" stroke=\"" << Colour
      << "\"" << Dash << " points=\"";
  for (const auto &[X, Y] : Series.Points_)
    Out << ToX(X) << "," << ToY(Y) << " ";
  Out << "\"/>\n";
  double LegendY = Top + 14 + 18 * static_cast<double>(Index);
  double LegendX = Width - Right + 12;
  Out << "<line x1=\"" << LegendX << "\" y1=\"" << LegendY - 4 << "\" x2=\""
      << LegendX + 20 << "\" y2=\"" << LegendY - 4
      << "\" stroke-width=\"2\" stroke=\"" << Colour << "\"" << Dash << "/>\n";
  drawText(Out, LegendX + 26, LegendY, "start", Series.Name_);
}

std::string shortNumber(double Value) {
  std::ostringstream Out;
  Out << Value;
  return Out.str();
}

} // namespace

std::string escapeMarkup(std::string_view Text) {
  std::string Out;
  for (char Character : Text) {
    switch (Character) {
    case '<':
      Out += "&lt;";
      break;
    case '>':
      Out += "&gt;";
      break;
    case '&':
      Out += "&amp;";
      break;
    case '"':
      Out += "&quot;";
      break;
    default:
      Out += Character;
    }
  }
  return Out;
}

std::vector<std::pair<double, std::string>> linearTicks(double Highest) {
  constexpr double TargetTickCount = 5;
  double MinStep = std::max(Highest, 1e-9) / TargetTickCount;
  double Step = std::pow(10.0, std::floor(std::log10(MinStep)));
  for (double Factor : {1.0, 2.0, 5.0, 10.0})
    if (Step * Factor >= MinStep) {
      Step *= Factor;
      break;
    }
  std::vector<std::pair<double, std::string>> Out;
  for (int I = 0; Out.size() < 2 || Out.back().first < Highest; ++I)
    Out.emplace_back(Step * I, shortNumber(Step * I));
  return Out;
}

std::vector<std::pair<double, std::string>> decadeTicks(double Lowest,
                                                        double Highest) {
  int First = static_cast<int>(std::floor(std::log10(std::max(Lowest, 1e-6))));
  std::vector<std::pair<double, std::string>> Out;
  for (int I = First; Out.size() < 2 || Out.back().first < Highest; ++I)
    Out.emplace_back(std::pow(10.0, I), shortNumber(std::pow(10.0, I)));
  return Out;
}

std::string renderPlot(const std::string &Title, const PlotAxis &X,
                       const PlotAxis &Y,
                       const std::vector<PlotSeries> &Series) {
  std::ostringstream Out;
  Out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << Width
      << "\" height=\"" << Height
      << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
      << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
  drawText(Out, Left, Top - 16, "start", Title);
  Scale ToX(X, Left, Width - Right);
  Scale ToY(Y, Height - Bottom, Top);
  drawAxes(Out, X, Y, ToX, ToY);
  for (std::size_t I = 0; I < Series.size(); ++I)
    drawSeries(Out, Series[I], I, ToX, ToY);
  Out << "</svg>\n";
  return Out.str();
}

} // namespace sycamore
