package org.toucanmast.cli;

import com.google.common.base.Joiner;
import com.google.common.base.Splitter;
import com.google.common.io.BaseEncoding;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.toucanmast.core.configuration.FleetConfiguration;
import org.toucanmast.schema.ConfigurationDocument;
import org.toucanmast.schema.Section;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * The {@code key} command: grants, lists and withdraws API keys of customers. The configuration
 * contains only hashes of the keys.
 */
@Command(
    name = "key",
    mixinStandardHelpOptions = true,
    description = "Grant, list and withdraw the API keys of customers.")
final class KeyCommand {
  private static final int KEY_LENGTH_IN_BYTES = 32;
  private static final int MINIMUM_PREFIX_DIGITS = 8;
  private static final Splitter HASH_SPLITTER = Splitter.on(',').trimResults().omitEmptyStrings();

  @Spec private CommandSpec spec;

  @Command(
      name = "grant",
      mixinStandardHelpOptions = true,
      description =
          "Create a key and print it; only its hash is stored, so it cannot be shown again.")
  int grant(@Mixin EditOptions options, @Parameters(paramLabel = "CUSTOMER") String customer)
      throws CommandException {
    byte[] keyBytes = new byte[KEY_LENGTH_IN_BYTES];
    new SecureRandom().nextBytes(keyBytes);
    String key = BaseEncoding.base64Url().omitPadding().encode(keyBytes);
    String hash = FleetConfiguration.hashOfKey(key);
    int exitCode =
        options.edit(
            spec,
            document -> {
              List<String> hashes = hashesOf(document, customer);
              hashes.add(hash);
              return withHashes(document, customer, hashes);
            });
    spec.commandLine().getOut().println("key " + key);
    return exitCode;
  }

  @Command(
      name = "withdraw",
      mixinStandardHelpOptions = true,
      description = "Withdraw the key whose hash, as printed by `key list`, starts with HASH.")
  int withdraw(
      @Mixin EditOptions options,
      @Parameters(paramLabel = "CUSTOMER") String customer,
      @Parameters(
              paramLabel = "HASH",
              description = "The first digits of the key's hash, at least 8.")
          String prefix)
      throws CommandException {
    if (prefix.length() < MINIMUM_PREFIX_DIGITS) {
      throw new CommandException(ExitCodes.INVALID, "HASH: expected at least 8 digits");
    }
    return options.edit(
        spec,
        document -> {
          List<String> hashes = hashesOf(document, customer);
          long matching = hashes.stream().filter(hash -> hash.startsWith(prefix)).count();
          if (matching != 1) {
            throw new CommandException(
                ExitCodes.INVALID,
                matching
                    + " keys (expected 1) of customer '"
                    + customer
                    + "' match hash prefix "
                    + prefix);
          }
          hashes.removeIf(hash -> hash.startsWith(prefix));
          return withHashes(document, customer, hashes);
        });
  }

  @Command(
      name = "list",
      mixinStandardHelpOptions = true,
      description = "List the hashes of a customer's keys.")
  int list(
      @Mixin PlatformOptions platform,
      @Parameters(paramLabel = "CUSTOMER") String customer,
      @Option(names = "--output", defaultValue = "table") OutputFormat output)
      throws CommandException {
    ConfigurationDocument document = platform.run(editor -> new ConfigurationEditor(editor).read());
    List<List<String>> rows = hashesOf(document, customer).stream().map(List::of).toList();
    spec.commandLine().getOut().print(output.render(List.of("hash"), rows));
    return ExitCodes.OK;
  }

  private static List<String> hashesOf(ConfigurationDocument document, String customer)
      throws CommandException {
    Section section =
        DocumentEdits.findSection(document, "customer", customer)
            .orElseThrow(
                () ->
                    new CommandException(
                        ExitCodes.INVALID, "there is no customer '" + customer + "'"));
    return new ArrayList<>(HASH_SPLITTER.splitToList(section.getValuesOrDefault("keys", "")));
  }

  private static ConfigurationDocument withHashes(
      ConfigurationDocument document, String customer, List<String> hashes)
      throws CommandException {
    return DocumentEdits.setValues(
        document, "customer", customer, Map.of("keys", Joiner.on(',').join(hashes)));
  }
}
