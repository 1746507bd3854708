// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.standin;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import java.util.List;
import org.fawndrum.protocol.Json;
import org.fawndrum.protocol.PlatformMessages.ListedHost;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Main class that runs one stand-in: {@code platform}, {@code model} or {@code plain}. */
public final class StandinMain {
  private static final int USAGE = 2;
  private static final int FAILED = 1;

  @Argument(index = 0, required = true, metaVar = "KIND", usage = "platform, model or plain")
  private String kind;

  @Option(name = "--ip", usage = "IP address to listen on")
  private String ip = "127.0.0.1";

  @Option(name = "--port", required = true, usage = "port to listen on")
  private int port;

  @Option(name = "--name", usage = "host name for the platform's list")
  private String name = "standin";

  @Option(name = "--zone", usage = "availability zone")
  private String zone = "zone";

  @Option(name = "--serves", usage = "models or services, separated by commas")
  private String serves = "";

  @Option(name = "--platform", usage = "port of the platform at which to register")
  private int platform;

  @Option(name = "--memory", usage = "memory of an engine, in tokens")
  private long memory = 400_000;

  @Option(name = "--step-ms", usage = "duration of an engine's step, in milliseconds")
  private long stepMs = 25;

  @Option(name = "--step-tokens", usage = "maximum number of tokens per engine step")
  private int stepTokens = 1_024;

  @Option(name = "--lag-ms", usage = "delay of an engine's load reports, in milliseconds")
  private long lagMs = 200;

  @Option(name = "--appends", usage = "maximum number of appends to the platform per second")
  private int appends = 300;

  @Option(name = "--retention", usage = "number of records that the platform retains")
  private int retention = 10_000;

  private StandinMain() {}

  /** Runs a stand-in until the process is terminated. Exit codes: 1 failure, 2 wrong usage. */
  public static void main(String[] args) {
    StandinMain main = new StandinMain();
    CmdLineParser parser = new CmdLineParser(main);
    try {
      parser.parseArgument(args);
    } catch (CmdLineException e) {
      System.err.println(e.getMessage());
      parser.printUsage(System.err);
      System.exit(USAGE);
    }
    main.run();
  }

  private void run() {
    Vertx vertx = Vertx.vertx();
    long incarnation = System.currentTimeMillis();
    start(vertx, incarnation)
        .compose(server -> register(vertx, incarnation))
        .onSuccess(done -> System.out.println(kind + " " + name + " is listening on " + port))
        .onFailure(
            cause -> {
              System.err.println(cause);
              System.exit(FAILED);
            });
  }

  private Future<HttpServer> start(Vertx vertx, long incarnation) {
    switch (kind) {
      case "platform":
        return new PlatformStandin(vertx, ip, port, appends, retention).listen();
      case "model":
        EngineModel.Settings settings = new EngineModel.Settings(memory, stepTokens, stepMs);
        return new EngineStandin(vertx, ip, port, name, incarnation, settings, lagMs).listen();
      case "plain":
        return new PlainStandin(vertx, ip, port, name).listen();
      default:
        System.err.println("KIND must be platform, model or plain");
        System.exit(USAGE);
        return null;
    }
  }

  private Future<Void> register(Vertx vertx, long incarnation) {
    if (platform == 0) {
      return Future.succeededFuture();
    }
    ListedHost host =
        new ListedHost(
            name,
            incarnation,
            zone,
            kind,
            ip,
            port,
            List.of(serves.split(",")),
            "model".equals(kind) ? memory : 0,
            false);
    return vertx
        .createHttpClient()
        .request(HttpMethod.POST, platform, ip, "/hosts")
        .compose(request -> request.send(Buffer.buffer(Json.write(host))))
        .mapEmpty();
  }
}
