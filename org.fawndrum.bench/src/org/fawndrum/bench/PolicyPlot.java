// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.bench;

import java.awt.geom.Rectangle2D;
import java.util.List;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.axis.LogAxis;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.data.category.DefaultCategoryDataset;
import org.jfree.svg.SVGGraphics2D;

/** Plots the 95th percentile of the time to first token by prompt length, for each policy. */
final class PolicyPlot {
  /** Lower bound of the logarithmic axis. */
  private static final double AXIS_MIN = 0.5;

  private static final int WIDTH = 900;
  private static final int HEIGHT = 480;
  private static final List<String> DECADES = List.of("to 10k", "to 100k", "over 100k");

  private final List<PolicyBench.Measurement> lines;

  PolicyPlot(List<PolicyBench.Measurement> lines) {
    this.lines = lines;
  }

  String svg() {
    DefaultCategoryDataset data = new DefaultCategoryDataset();
    List<Integer> loads = lines.stream().map(PolicyBench.Measurement::load).distinct().toList();
    for (Integer load : loads) {
      for (BenchPolicy policy : BenchPolicy.ALL) {
        for (int decade = 0; decade < DECADES.size(); decade++) {
          int at = decade;
          double p95 =
              PolicyBench.median(
                  lines.stream()
                      .filter(line -> line.load() == load && line.policy() == policy)
                      .toList(),
                  line -> line.result().slowdown(at, 0.95));
          data.addValue(p95, policy.name(), DECADES.get(decade) + ", " + load + "%");
        }
      }
    }
    JFreeChart chart =
        ChartFactory.createLineChart(
            "p95 time to first token, as a multiple of that on an idle engine",
            "prompt length, load",
            "multiple",
            data,
            PlotOrientation.VERTICAL,
            true,
            false,
            false);
    LogAxis axis = new LogAxis("multiple");
    axis.setSmallestValue(AXIS_MIN);
    chart.getCategoryPlot().setRangeAxis(axis);
    SVGGraphics2D graphics = new SVGGraphics2D(WIDTH, HEIGHT);
    chart.draw(graphics, new Rectangle2D.Double(0, 0, WIDTH, HEIGHT));
    return graphics.getSVGDocument();
  }
}
