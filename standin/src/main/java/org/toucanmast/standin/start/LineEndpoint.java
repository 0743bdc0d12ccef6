package org.toucanmast.standin.start;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import io.vertx.core.parsetools.RecordParser;

/** A primary that speaks the platform's line protocol and answers each statement at once. */
final class LineEndpoint {
  private static final String LINE_END = "\r\n";

  private LineEndpoint() {}

  /** Starts the endpoint on a free port of the loopback interface; the result is the port. */
  static Future<Integer> start(Vertx vertx) {
    return vertx
        .createNetServer()
        .connectHandler(LineEndpoint::onConnection)
        .listen(0, "127.0.0.1")
        .map(NetServer::actualPort);
  }

  private static void onConnection(NetSocket socket) {
    boolean[] inTransaction = new boolean[1];
    socket.handler(
        RecordParser.newDelimited(
            LINE_END,
            bytes -> {
              String line = bytes.toString();
              if (line.startsWith("START")) {
                socket.write("READY I 1.1" + LINE_END);
              } else {
                inTransaction[0] = isInTransactionAfter(line, inTransaction[0]);
                socket.write(reply(line, inTransaction[0]));
              }
            }));
  }

  private static boolean isInTransactionAfter(String line, boolean before) {
    if (line.contains(" BEGIN")) {
      return true;
    }
    return before && !line.endsWith(" COMMIT") && !line.endsWith(" ROLLBACK");
  }

  private static String reply(String line, boolean inTransaction) {
    String row = line.endsWith(" STATUS") ? "ROW primary 1 1.1 0 0 0 1" : "ROW value";
    return row
        + LINE_END
        + "COMPLETE s"
        + LINE_END
        + ("READY " + (inTransaction ? "T" : "I") + " 1.1" + LINE_END);
  }
}
