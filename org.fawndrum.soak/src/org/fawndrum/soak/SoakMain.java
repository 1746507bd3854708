// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Runs seeds one after the other. Exit codes: 0 no violation, 1 violations, 2 wrong usage. */
public final class SoakMain {
  private static final int VIOLATION = 1;
  private static final int USAGE = 2;
  private static final long MS_PER_SECOND = 1_000;

  @Option(name = "--from", usage = "the first seed")
  private long firstSeed = 1;

  @Option(name = "--seeds", usage = "number of seeds")
  private int seedCount = 1;

  @Option(name = "--seconds", usage = "time span in which faults start, per seed")
  private int seconds = 20;

  @Option(name = "--hosts", usage = "number of daemons")
  private int hosts = 4;

  @Option(name = "--calm", usage = "no faults, to measure what daemons use")
  private boolean calm;

  @Option(
      name = "--kinds",
      usage = "kinds of faults with which a seed was first run: 1 to 7, or 8 for all")
  private int generation = Fault.GENERATIONS.size();

  @Option(name = "--keep", usage = "folder for settings and logs of the daemons")
  private Path outputFolder = Path.of("target", "soak");

  private SoakMain() {}

  /** Runs the seeds given by the arguments. */
  public static void main(String[] args) throws InterruptedException, IOException {
    SoakMain main = new SoakMain();
    CmdLineParser parser = new CmdLineParser(main);
    try {
      parser.parseArgument(args);
    } catch (CmdLineException e) {
      System.err.println(e.getMessage());
      parser.printUsage(System.err);
      System.exit(USAGE);
    }
    System.exit(main.runSeeds() ? 0 : VIOLATION);
  }

  private boolean runSeeds() throws InterruptedException, IOException {
    boolean passed = true;
    for (long seed = firstSeed; seed < firstSeed + seedCount; seed++) {
      Path folder = Files.createDirectories(outputFolder.resolve("seed-" + seed));
      Set<Fault.Kind> kinds = calm ? Set.of() : Fault.GENERATIONS.get(generation - 1);
      Soak.Result result =
          new Soak(new Soak.Config(seed, hosts, seconds * MS_PER_SECOND, kinds, folder)).run();
      System.out.println("seed " + seed + ": " + result.summary());
      result.violations().forEach(violation -> System.out.println("  broken: " + violation));
      passed &= result.violations().isEmpty();
    }
    return passed;
  }
}
