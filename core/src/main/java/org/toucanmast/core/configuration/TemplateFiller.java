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

/** Fills a template's parameters with the values of a customer. */
final class TemplateFiller {
  private static final Pattern PARAMETER = Pattern.compile("\\$\\{([^}]*)}");

  private TemplateFiller() {}

  /**
   * Returns the customer's keys: those of the template, filled, overridden by the customer's own.
   *
   * @param problem receives each key that is wrong and why
   */
  static Map<String, String> fill(
      Map<String, String> template,
      Map<String, String> customer,
      BiConsumer<String, String> problem) {
    Set<String> parameters = parametersOf(template);
    Set<String> known = new TreeSet<>(SectionReader.keysOf(CustomerSection.getDescriptor()));
    StringSubstitutor substitutor = new StringSubstitutor(customer);
    Map<String, String> filled = new LinkedHashMap<>();
    template.forEach((key, text) -> filled.put(key, substitutor.replace(text)));
    customer.forEach(
        (key, text) -> {
          if (known.contains(key)) {
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
