// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Runs a loss of power of all hosts. Exit codes: 0 no violation, 1 violations, 2 wrong usage. */
public final class PowerLossMain {
  private static final int VIOLATION = 1;
  private static final int USAGE = 2;

  /** Plain endpoints, as many as the users' site has. */
  private static final int SERVICES = 7;

  /** How long the power is off, in milliseconds; as on the users' days. */
  private static final long DOWN_MS = 1_200;

  @Option(name = "--seed", usage = "the seed of the requests")
  private long seed = 1;

  @Option(name = "--hosts", usage = "number of daemons")
  private int hosts = 82;

  @Option(name = "--engines", usage = "number of engines")
  private int engines = 78;

  @Option(
      name = "--standin-loops",
      usage = "event loops of the store and all endpoints; with 1 all of them are late together")
  private int standinLoops = PowerLoss.STANDIN_LOOPS;

  @Option(name = "--endpoints-too", usage = "all endpoints lose power with the hosts")
  private boolean endpointsToo;

  @Option(name = "--gap", usage = "milliseconds between two requests of all callers")
  private long gapMs = 11;

  @Option(name = "--start", usage = "milliseconds for the first start")
  private long startMs = 19_000;

  @Option(name = "--before", usage = "milliseconds of traffic before the loss")
  private long beforeMs = 20_000;

  @Option(name = "--recovery", usage = "milliseconds for hosts to serve again")
  private long recoveryMs = 15_000;

  @Option(name = "--judged", usage = "milliseconds of traffic after that")
  private long judgedMs = 10_000;

  @Option(
      name = "--deploy",
      usage = "deploy file whose program is run; its folder's parent is here")
  private Path deployFile;

  @Option(name = "--keep", usage = "folder for settings and logs of the daemons")
  private Path outputFolder = Path.of("target", "power-loss");

  private PowerLossMain() {}

  /** Runs with the given arguments. */
  public static void main(String[] args) throws InterruptedException, IOException {
    PowerLossMain main = new PowerLossMain();
    CmdLineParser parser = new CmdLineParser(main);
    try {
      parser.parseArgument(args);
    } catch (CmdLineException e) {
      System.err.println(e.getMessage());
      parser.printUsage(System.err);
      System.exit(USAGE);
    }
    System.exit(main.runOnce() ? 0 : VIOLATION);
  }

  private boolean runOnce() throws InterruptedException, IOException {
    Files.createDirectories(outputFolder);
    List<String> options = deployFile == null ? HostProcess.OPTIONS : deployedOptions(deployFile);
    PowerLoss.Result result =
        new PowerLoss(
                new PowerLoss.Config(
                    seed,
                    hosts,
                    engines,
                    SERVICES,
                    standinLoops,
                    endpointsToo,
                    gapMs,
                    startMs,
                    beforeMs,
                    DOWN_MS,
                    recoveryMs,
                    judgedMs,
                    outputFolder,
                    options))
            .run();
    result.processorTimes().forEach(System.out::println);
    result.timeline().forEach(System.out::println);
    System.out.println(result.summary());
    result.violations().forEach(violation -> System.out.println("  broken: " + violation));
    return result.violations().isEmpty();
  }

  /** Returns the options of the program in a deploy file, with its jar as class path. */
  private static List<String> deployedOptions(Path file) throws IOException {
    String run =
        Files.readAllLines(file).stream()
            .filter(line -> line.startsWith("run = "))
            .findFirst()
            .orElseThrow(() -> new IOException(file + " names no program"));
    List<String> words =
        List.of(run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" "));
    int jar = words.indexOf("-jar");
    List<String> options = new ArrayList<>(words.subList(1, jar));
    options.add("-cp");
    options.add(words.get(jar + 1));
    return options;
  }
}
