package org.toucanmast.cli;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vertx.core.Future;
import java.util.List;
import java.util.UUID;
import org.toucanmast.core.configuration.ConfigurationCompiler;
import org.toucanmast.core.text.InvalidTextException;
import org.toucanmast.runtime.ini.ConfigurationText;
import org.toucanmast.runtime.platform.PlatformEditor;
import org.toucanmast.runtime.platform.PlatformException;
import org.toucanmast.runtime.platform.PlatformObject;
import org.toucanmast.schema.ConfigurationDocument;

/** Changes the configuration in the platform: read, change, check, write if nobody else wrote. */
final class ConfigurationEditor {
  private static final String KIND = "configuration";
  private static final String NAME = "main";
  private static final int ATTEMPTS = 5;

  /** A change of the document. */
  interface Change {
    /** Returns the changed document; fails when it names something that does not exist. */
    ConfigurationDocument apply(ConfigurationDocument document) throws CommandException;
  }

  /**
   * What an edit did.
   *
   * @param revision the revision that holds the change
   * @param difference lines that were removed and added
   */
  record Edited(long revision, List<String> difference) {}

  private final PlatformEditor platform;

  ConfigurationEditor(PlatformEditor platform) {
    this.platform = platform;
  }

  /** Reads the newest document. */
  Future<ConfigurationDocument> read() {
    return platform.read(KIND, NAME).compose(ConfigurationEditor::documentOf);
  }

  /** Makes a change that may be made again on top of somebody else's. */
  Future<Edited> edit(Change change) {
    return attempt(change, false, ATTEMPTS);
  }

  /** Makes a change only on the version that was read first. */
  Future<Edited> editOnce(Change change, boolean dryRun) {
    return attempt(change, dryRun, 1);
  }

  private Future<Edited> attempt(Change change, boolean dryRun, int attempts) {
    return platform
        .read(KIND, NAME)
        .compose(before -> write(before, change, dryRun))
        .recover(
            cause ->
                attempts > 1 && isConflict(cause)
                    ? attempt(change, dryRun, attempts - 1)
                    : Future.failedFuture(cause));
  }

  private Future<Edited> write(PlatformObject before, Change change, boolean dryRun) {
    return documentOf(before)
        .compose(
            document -> {
              try {
                ConfigurationDocument changed = change.apply(document);
                ConfigurationCompiler.compile(changed, before.version() + 1, "the configuration");
                List<String> difference =
                    TextDifference.of(
                        ConfigurationText.toIni(document), ConfigurationText.toIni(changed));
                if (dryRun || difference.isEmpty()) {
                  return Future.succeededFuture(new Edited(before.version(), difference));
                }
                return platform
                    .edit(
                        KIND,
                        NAME,
                        before,
                        ConfigurationText.toJson(changed),
                        UUID.randomUUID().toString())
                    .map(version -> new Edited(version, difference));
              } catch (CommandException e) {
                return Future.failedFuture(e);
              } catch (InvalidTextException e) {
                return Future.failedFuture(new CommandException(ExitCodes.INVALID, e.getMessage()));
              }
            });
  }

  private static Future<ConfigurationDocument> documentOf(PlatformObject object) {
    try {
      return Future.succeededFuture(ConfigurationText.ofJson(object.value()));
    } catch (InvalidProtocolBufferException e) {
      return Future.failedFuture(new CommandException(ExitCodes.FAILED, e.getMessage()));
    }
  }

  private static boolean isConflict(Throwable cause) {
    return cause instanceof PlatformException error
        && error.kind() == PlatformException.Kind.CONFLICT;
  }
}
