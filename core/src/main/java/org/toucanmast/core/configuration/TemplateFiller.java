package org.toucanmast.core.configuration;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BiConsumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.commons.text.StringSubstitutor;
import org.toucanmast.core.text.SectionReader;
import org.toucanmast.schema.CustomerSection;

/** Applies a template to a customer section and substitutes the template's parameters. */
final class TemplateFiller {
  private static final Pattern PARAMETER = Pattern.compile("\\$\\{([^}]*)}");

  private TemplateFiller() {}

  /**
   * Returns the values of the template with its parameters substituted, overridden by the values of
   * the customer section.
   *
   * @param template the values of the template section by key
   * @param customer the values of the customer section by key, including the template's parameters
   * @param problem receives each invalid key and the reason
   */
  static Map<String, String> fill(
      Map<String, String> template,
      Map<String, String> customer,
      BiConsumer<String, String> problem) {
    Set<String> parameters = parametersOf(template);
    Set<String> customerKeys = new TreeSet<>(SectionReader.keysOf(CustomerSection.getDescriptor()));
    // A customer's value is text and no template: it must not take in other values, or itself.
    StringSubstitutor substitutor =
        new StringSubstitutor(customer).setDisableSubstitutionInValues(true);
    Map<String, String> filled = new LinkedHashMap<>();
    template.forEach((key, text) -> filled.put(key, substitutor.replace(text)));
    customer.forEach(
        (key, text) -> {
          if (customerKeys.contains(key)) {
            filled.put(key, text);
          } else if (!parameters.contains(key)) {
            problem.accept(key, "is neither a key nor a parameter of the template " + parameters);
          }
        });
    for (String parameter : parameters) {
      if (!customer.containsKey(parameter)) {
        problem.accept(parameter, "is a parameter of the template and is missing");
      }
    }
    return filled;
  }

  private static Set<String> parametersOf(Map<String, String> template) {
    Set<String> parameters = new TreeSet<>();
    for (String text : template.values()) {
      Matcher matcher = PARAMETER.matcher(text);
      while (matcher.find()) {
        parameters.add(matcher.group(1));
      }
    }
    return parameters;
  }
}
