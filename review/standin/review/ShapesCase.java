package review;

import java.nio.file.Path;
import java.util.List;
import java.util.TreeMap;

/**
 * Sessions prepare shapes of several words, set values with blanks and execute with items that hold
 * blanks. Each run at a backend must be the one that its caller sent, prepared and set.
 */
final class ShapesCase {
  private static final int SESSIONS = 24;
  private static final int PLAY_IN_MILLISECONDS = 12_000;
  private static final ShapeCaller.Vocabulary PLAIN =
      new ShapeCaller.Vocabulary(
          List.of("qa", "qb", "q1", "md"), List.of("a", "b"), List.of("e1", "e2", "53e9"));
  private static final ShapeCaller.Vocabulary WORDS =
      new ShapeCaller.Vocabulary(
          List.of(
              "qa", "qa WRITE md", "q1 READ ftqd", "md READ", "READ qa", "WRITE md", "q1",
              "READ q1 READ ftqd", "s1 READ x", "s0", "w_qa", "r_qa WRITE md", "AFTER 3.1 READ x"),
          List.of("a", "a b", "READ x", "s0 READ qa", "v2 b", "a=b;c"),
          List.of("e1", "53e9", "READ ftqd 53e9", "e 2", "s0 e1", "ftqd 12"));
  private static final ShapeCaller.Vocabulary BLANKS =
      new ShapeCaller.Vocabulary(
          List.of(" qa", "qa ", "qa  md", "  ", " ", "qa", " READ", "READ ", "-", "\t", "\u00e9 \u00ff"),
          List.of("", " ", "a ", " a", "a  b", "\u00e9"),
          List.of("e1", "e1 ", " e1", "e  1", "", " "));

  private ShapesCase() {}

  public static void main(String[] arguments) throws Exception {
    Deployment deployment = new Deployment(Path.of(arguments[0]), 0);
    Recorder recorder = deployment.recorder;
    Inspection.Trouble trouble =
        "1".equals(System.getenv("REFUSALS"))
            ? new Inspection.Trouble(0.08, 0.05, 0.004, 0.01, 0.2)
            : Inspection.Trouble.NONE;
    Inspection inspection = new Inspection(recorder, trouble);
    for (Endpoint endpoint : deployment.endpoints) {
      endpoint.inspect(inspection);
      endpoint.workInMilliseconds = 5;
    }
    deployment.start();
    ShapeCaller.Vocabulary vocabulary =
        switch (String.valueOf(System.getenv("VOCABULARY"))) {
          case "plain" -> PLAIN;
          case "blanks" -> BLANKS;
          default -> deployment.trouble ? WORDS : PLAIN;
        };
    ShapeCaller.Totals totals = new ShapeCaller.Totals();
    double end = Recorder.now() + PLAY_IN_MILLISECONDS;
    String[] databases = {
      Deployment.PRIMARY_DATABASE, Deployment.BOUNDED_DATABASE, Deployment.OWN_DATABASE
    };
    for (int session = 0; session < SESSIONS; session++) {
      ShapeCaller caller =
          new ShapeCaller(
              deployment,
              inspection,
              vocabulary,
              totals,
              deployment.fleet.vms.get(session % deployment.fleet.vms.size()),
              databases[session / deployment.fleet.vms.size() % databases.length],
              46_000 + session);
      Endpoint.daemon(() -> caller.play(end));
    }
    Deployment.sleepUntil(end + 500);
    recorder.say(
        "runs %d, set-up commands %d, successes %d, errors %s, interfered %d",
        inspection.runs.get(),
        inspection.setups.get(),
        totals.succeeded().get(),
        new TreeMap<>(totals.errors()),
        inspection.interfered.get());
    recorder.say(
        "PINNED %d, UNASKED %d, MIXED %d, REFUSED %d, TWICE %d, messages above 1 MiB %d",
        inspection.pinned.get(),
        inspection.unasked.get(),
        totals.mixed().get(),
        totals.refusedButKept().get(),
        totals.twice().get(),
        inspection.oversized.get());
    deployment.finish(totals.succeeded().get() > 200);
  }
}
