// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.bench;

import java.io.IOException;
import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;

/** Main class of the benchmarks: {@code policy}, {@code report} and {@code slopes}. */
public final class BenchMain {
  private static final int USAGE = 2;
  private static final Map<String, Supplier<BenchCommand>> ALL =
      new TreeMap<>(
          Map.of("policy", PolicyBench::new, "report", Report::new, "slopes", SlopeBench::new));

  private BenchMain() {}

  /** Runs one benchmark. Exit codes: 0 success, 2 wrong usage. */
  public static void main(String[] args) throws IOException {
    Supplier<BenchCommand> factory = args.length == 0 ? null : ALL.get(args[0]);
    if (factory == null) {
      System.err.println("fawndrum-bench BENCHMARK; one of " + ALL.keySet());
      System.exit(USAGE);
      return;
    }
    BenchCommand command = factory.get();
    CmdLineParser parser = new CmdLineParser(command);
    try {
      parser.parseArgument(Arrays.copyOfRange(args, 1, args.length));
    } catch (CmdLineException e) {
      System.err.println(e.getMessage());
      parser.printUsage(System.err);
      System.exit(USAGE);
    }
    System.exit(command.call());
  }
}
