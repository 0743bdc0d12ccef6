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

/** Grants and withdraws the keys of customers; only hashes are kept. */
@Command(
    name = "key",
    mixinStandardHelpOptions = true,
    description = "Grant, list and withdraw the keys of customers.")
final class KeyCommand {
  private static final int KEY_BYTES = 32;
  private static final int MINIMUM_PREFIX = 8;
  private static final Splitter HASHES = Splitter.on(',').trimResults().omitEmptyStrings();

  @Spec private CommandSpec spec;

  @Command(
      name = "grant",
      mixinStandardHelpOptions = true,
      description = "Make a new key and print it; it cannot be shown again.")
  int grant(@Mixin EditOptions options, @Parameters(paramLabel = "CUSTOMER") String customer)
      throws CommandException {
    byte[] random = new byte[KEY_BYTES];
    new SecureRandom().nextBytes(random);
    String key = BaseEncoding.base64Url().omitPadding().encode(random);
    String hash = FleetConfiguration.hashOfKey(key);
    int code =
        options.edit(
            spec,
            document -> {
              List<String> hashes = hashesOf(document, customer);
              hashes.add(hash);
              return withHashes(document, customer, hashes);
            });
    spec.commandLine().getOut().println("key " + key);
    return code;
  }

  @Command(
      name = "withdraw",
      mixinStandardHelpOptions = true,
      description = "Withdraw a key, named by its hash as `key list` shows it.")
  int withdraw(
      @Mixin EditOptions options,
      @Parameters(paramLabel = "CUSTOMER") String customer,
      @Parameters(paramLabel = "HASH", description = "At least 8 digits of it.") String prefix)
      throws CommandException {
    if (prefix.length() < MINIMUM_PREFIX) {
      throw new CommandException(ExitCodes.INVALID, "give at least 8 digits of the hash");
    }
    return options.edit(
        spec,
        document -> {
          List<String> hashes = hashesOf(document, customer);
          long matching = hashes.stream().filter(hash -> hash.startsWith(prefix)).count();
          if (matching != 1) {
            throw new CommandException(
                ExitCodes.INVALID, matching + " keys of '" + customer + "' match " + prefix);
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
        DocumentEdits.find(document, "customer", customer)
            .orElseThrow(
                () ->
                    new CommandException(
                        ExitCodes.INVALID, "there is no customer '" + customer + "'"));
    return new ArrayList<>(HASHES.splitToList(section.getValuesOrDefault("keys", "")));
  }

  private static ConfigurationDocument withHashes(
      ConfigurationDocument document, String customer, List<String> hashes)
      throws CommandException {
    return DocumentEdits.set(
        document, "customer", customer, Map.of("keys", Joiner.on(',').join(hashes)));
  }
}
