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

/**
 * Edits the configuration object in the platform with optimistic concurrency control: reads it,
 * applies a change, validates the result and writes it only if the version has not changed since.
 */
final class ConfigurationEditor {
  private static final String OBJECT_KIND = "configuration";
  private static final String OBJECT_NAME = "main";
  private static final int MAX_ATTEMPTS = 5;

  /** A change to the configuration document. */
  interface Change {
    /**
     * Returns the changed document.
     *
     * @throws CommandException when the change refers to a section that does not exist or is not
     *     unique
     */
    ConfigurationDocument apply(ConfigurationDocument document) throws CommandException;
  }

  /**
   * The result of an edit.
   *
   * @param revision the revision that contains the change; in a dry run and when nothing differs,
   *     the revision that was read
   * @param difference the removed lines, each after "- ", then the added lines, each after "+ "
   */
  record EditResult(long revision, List<String> difference) {}

  private final PlatformEditor platform;

  ConfigurationEditor(PlatformEditor platform) {
    this.platform = platform;
  }

  /** Reads the current document. */
  Future<ConfigurationDocument> read() {
    return platform.read(OBJECT_KIND, OBJECT_NAME).compose(ConfigurationEditor::parseDocument);
  }

  /**
   * Applies a change; on a conflict with another edit, reads the document again and reapplies the
   * change, at most {@value #MAX_ATTEMPTS} times in all.
   */
  Future<EditResult> edit(Change change) {
    return attempt(change, false, MAX_ATTEMPTS);
  }

  /**
   * Applies a change to the version that was read first; fails on a conflict with another edit.
   *
   * @param dryRun computes and validates the change without writing it
   */
  Future<EditResult> editWithoutRetry(Change change, boolean dryRun) {
    return attempt(change, dryRun, 1);
  }

  private Future<EditResult> attempt(Change change, boolean dryRun, int attempts) {
    return platform
        .read(OBJECT_KIND, OBJECT_NAME)
        .compose(current -> write(current, change, dryRun))
        .recover(
            cause ->
                attempts > 1 && isConflict(cause)
                    ? attempt(change, dryRun, attempts - 1)
                    : Future.failedFuture(cause));
  }

  private Future<EditResult> write(PlatformObject current, Change change, boolean dryRun) {
    return parseDocument(current)
        .compose(
            document -> {
              try {
                ConfigurationDocument changed = change.apply(document);
                ConfigurationCompiler.compile(changed, current.version() + 1, "the configuration");
                List<String> difference = DocumentDifference.of(document, changed);
                if (dryRun || difference.isEmpty()) {
                  return Future.succeededFuture(new EditResult(current.version(), difference));
                }
                return platform
                    .edit(
                        OBJECT_KIND,
                        OBJECT_NAME,
                        current,
                        ConfigurationText.toJson(changed),
                        UUID.randomUUID().toString())
                    .map(version -> new EditResult(version, difference));
              } catch (CommandException e) {
                return Future.failedFuture(e);
              } catch (InvalidTextException e) {
                return Future.failedFuture(new CommandException(ExitCodes.INVALID, e.getMessage()));
              }
            });
  }

  private static Future<ConfigurationDocument> parseDocument(PlatformObject object) {
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
