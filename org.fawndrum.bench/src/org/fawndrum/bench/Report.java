// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.kohsuke.args4j.Option;

/** Writes an HTML page with the plot and the table of a policy benchmark's output. */
final class Report implements BenchCommand {
  private static final int INPUT_MISSING = 2;

  @Option(name = "--in", usage = "folder with policy.csv and policy.svg")
  private String in = "target/bench";

  @Override
  public int call() throws IOException {
    Path folder = Path.of(in);
    Path csv = folder.resolve("policy.csv");
    Path svg = folder.resolve("policy.svg");
    if (!Files.isReadable(csv) || !Files.isReadable(svg)) {
      System.err.println(folder + ": run fawndrum-bench policy --out " + folder + " first");
      return INPUT_MISSING;
    }
    Path page = folder.resolve("report.html");
    Files.writeString(page, page(Files.readAllLines(csv), Files.readString(svg)));
    System.out.println("written: " + page);
    return 0;
  }

  private static String page(List<String> lines, String svg) {
    StringBuilder html = new StringBuilder();
    html.append("<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">");
    html.append("<title>fawndrum policies</title><style>body{font-family:sans-serif}");
    html.append("table{border-collapse:collapse}td,th{border:1px solid #999;padding:2px 6px;");
    html.append("text-align:right}</style></head><body><h1>Policies side by side</h1>");
    html.append(svg.substring(Math.max(0, svg.indexOf("<svg"))));
    html.append(
        "<p>ttft columns: time to first token as a multiple of that on an idle engine.</p>");
    html.append("<table>");
    for (int i = 0; i < lines.size(); i++) {
      String cell = i == 0 ? "th" : "td";
      html.append("<tr>");
      for (String value : lines.get(i).split(",")) {
        html.append('<').append(cell).append('>').append(truncated(value));
        html.append("</").append(cell).append('>');
      }
      html.append("</tr>");
    }
    return html.append("</table></body></html>\n").toString();
  }

  /** Truncates decimal fractions to three digits. */
  private static String truncated(String value) {
    int point = value.indexOf('.');
    boolean isLong = point >= 0 && value.length() > point + 4;
    return isLong ? value.substring(0, point + 4) : value;
  }
}
