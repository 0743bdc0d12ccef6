package org.toucanmast.core.configuration;

import com.google.protobuf.Descriptors.FieldDescriptor;
import com.google.protobuf.Message;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.toucanmast.core.group.AcknowledgementRule;
import org.toucanmast.core.text.InvalidTextException;
import org.toucanmast.core.text.SectionReader;
import org.toucanmast.core.text.ValueFormatException;
import org.toucanmast.schema.ConfigurationDocument;
import org.toucanmast.schema.CustomerSection;
import org.toucanmast.schema.DataCentreSection;
import org.toucanmast.schema.DatabaseSection;
import org.toucanmast.schema.EndpointSection;
import org.toucanmast.schema.Key;
import org.toucanmast.schema.RouteSection;
import org.toucanmast.schema.Section;
import org.toucanmast.schema.TextProto;

/**
 * Validates a configuration document and compiles it into a {@link FleetConfiguration}.
 *
 * <p>Example: {@code ConfigurationCompiler.compile(document, revision, "platform")}. A document
 * with any problem is rejected as a whole.
 */
public final class ConfigurationCompiler {
  private static final Map<String, Message> SCHEMAS =
      Map.of(
          "database", DatabaseSection.getDefaultInstance(),
          "endpoint", EndpointSection.getDefaultInstance(),
          "data-centre", DataCentreSection.getDefaultInstance(),
          "route", RouteSection.getDefaultInstance(),
          "customer", CustomerSection.getDefaultInstance());

  private final SectionReader reader;
  private final Map<String, Map<String, Map<String, String>>> sections = new HashMap<>();
  private final Map<String, EndpointDescription> endpoints = new HashMap<>();
  private final Map<String, Database> databases = new HashMap<>();
  private final Map<String, Route> routes = new HashMap<>();
  private final Map<String, Customer> customers = new HashMap<>();
  private final Map<String, String> customersByKey = new HashMap<>();
  private final Set<String> takenOutDataCentres = new HashSet<>();

  private ConfigurationCompiler(String source) {
    this.reader = new SectionReader(source);
  }

  /**
   * Validates and compiles a document.
   *
   * @param revision the revision of the compiled configuration
   * @param source the name of the document in error messages
   * @throws InvalidTextException when any section is invalid; it carries all problems
   */
  public static FleetConfiguration compile(
      ConfigurationDocument document, long revision, String source) throws InvalidTextException {
    ConfigurationCompiler compiler = new ConfigurationCompiler(source);
    compiler.indexSections(document);
    compiler.compileSections();
    compiler.reader.throwIfInvalid();
    return new FleetConfiguration(
        revision,
        compiler.customers,
        compiler.databases,
        compiler.routes,
        compiler.takenOutDataCentres,
        compiler.customersByKey);
  }

  private void indexSections(ConfigurationDocument document) {
    for (Section section : document.getSectionsList()) {
      String label = section.getKind() + " " + section.getName();
      if (!section.getKind().equals("template") && !SCHEMAS.containsKey(section.getKind())) {
        List<String> known = new ArrayList<>(SCHEMAS.keySet());
        known.add("template");
        reader.report(label, "", "is not a known kind of section; expected one of " + known);
        continue;
      }
      Map<String, String> previous =
          sections
              .computeIfAbsent(section.getKind(), kind -> new TreeMap<>())
              .put(section.getName(), section.getValuesMap());
      if (previous != null) {
        reader.report(label, "", "stands twice");
      }
    }
  }

  private Map<String, Map<String, String>> sectionsOfKind(String kind) {
    return sections.getOrDefault(kind, Map.of());
  }

  private void compileSections() {
    sectionsOfKind("data-centre").forEach(this::compileDataCentre);
    sectionsOfKind("endpoint").forEach(this::compileEndpoint);
    sectionsOfKind("database").forEach(this::compileDatabase);
    sectionsOfKind("route").forEach(this::compileRoute);
    sectionsOfKind("template").forEach(this::checkTemplate);
    sectionsOfKind("customer").forEach(this::compileCustomer);
    routes.values().forEach(this::checkAllowanceName);
  }

  /** A customer and a route of the same name would share one allowance and one queue. */
  private void checkAllowanceName(Route route) {
    if (sectionsOfKind("customer").containsKey(route.allowanceName())) {
      reader.report(
          "customer " + route.allowanceName(),
          "",
          "has the name of the allowance of route '" + route.name() + "'");
    }
  }

  private <T extends Message> T read(
      String kind, String name, Map<String, String> values, T schema) {
    T section = reader.read(kind + " " + name, values, schema);
    for (FieldDescriptor field : schema.getDescriptorForType().getFields()) {
      checkReferences(kind + " " + name, section, field);
    }
    return section;
  }

  private void checkReferences(String label, Message section, FieldDescriptor field) {
    Key key = field.getOptions().getExtension(TextProto.key);
    if (key.getRefersTo().isEmpty()) {
      return;
    }
    Object value = section.getField(field);
    List<?> names = value instanceof List<?> list ? list : List.of(value);
    for (Object name : names) {
      if (!name.equals("") && !sectionsOfKind(key.getRefersTo()).containsKey(name.toString())) {
        reader.report(
            label,
            SectionReader.keyName(field),
            "names the unknown " + key.getRefersTo() + " '" + name + "'");
      }
    }
  }

  private void compileDataCentre(String name, Map<String, String> values) {
    DataCentreSection section =
        read("data-centre", name, values, DataCentreSection.getDefaultInstance());
    if (section.getState().equals("out")) {
      takenOutDataCentres.add(name);
    }
  }

  private void compileEndpoint(String name, Map<String, String> values) {
    EndpointSection section = read("endpoint", name, values, EndpointSection.getDefaultInstance());
    endpoints.put(
        name,
        new EndpointDescription(
            name,
            section.getAddress(),
            section.getDataCentre(),
            (int) section.getConnections(),
            (int) section.getSlots(),
            section.getState().equals("leaving")));
  }

  private void compileDatabase(String name, Map<String, String> values) {
    DatabaseSection section = read("database", name, values, DatabaseSection.getDefaultInstance());
    List<EndpointDescription> members =
        section.getEndpointsList().stream()
            .filter(endpoints::containsKey)
            .map(endpoints::get)
            .toList();
    String preferred = section.getPreferredPrimary();
    if (!preferred.isEmpty() && !section.getEndpointsList().contains(preferred)) {
      reader.report("database " + name, "preferred-primary", "is not one of the endpoints");
    }
    if (section.getAcknowledge().isEmpty()) {
      return;
    }
    databases.put(
        name,
        new Database(
            name,
            members,
            AcknowledgementRule.ofSetting(section.getAcknowledge()),
            section.getPreferredPrimary()));
  }

  private void compileRoute(String name, Map<String, String> values) {
    RouteSection section = read("route", name, values, RouteSection.getDefaultInstance());
    if (section.getRate() > 0 && section.getBurst() > 0) {
      routes.put(
          name,
          new Route(
              name,
              section.getDatabase(),
              section.getPrefix(),
              new Allowance(section.getRate(), section.getBurst()),
              section.getMaximumAge()));
    }
  }

  private void checkTemplate(String name, Map<String, String> values) {
    List<String> known = SectionReader.keysOf(CustomerSection.getDescriptor());
    for (String key : values.keySet()) {
      if (!known.contains(key) || key.equals("keys")) {
        reader.report("template " + name, key, "is not a key that a template can set");
      }
    }
  }

  private void compileCustomer(String name, Map<String, String> values) {
    String label = "customer " + name;
    Map<String, String> filled = new LinkedHashMap<>(values);
    String templateName = filled.remove("template");
    if (templateName != null) {
      Map<String, String> template = sectionsOfKind("template").get(templateName);
      if (template == null) {
        reader.report(label, "template", "names the unknown template '" + templateName + "'");
        return;
      }
      filled =
          TemplateFiller.fill(template, filled, (key, reason) -> reader.report(label, key, reason));
    }
    CustomerSection section = read("customer", name, filled, CustomerSection.getDefaultInstance());
    registerKeys(label, name, section);
    addCustomer(name, section);
  }

  private void registerKeys(String label, String name, CustomerSection section) {
    for (String hash : section.getKeysList()) {
      String previousOwner = customersByKey.put(hash, name);
      if (previousOwner != null) {
        reader.report(
            label, "keys", "holds a key that belongs to customer '" + previousOwner + "' too");
      }
    }
  }

  private void addCustomer(String name, CustomerSection section) {
    if (!(section.getRate() > 0) || section.getBurst() < 1 || section.getTimeZone().isEmpty()) {
      return;
    }
    try {
      customers.put(
          name,
          new Customer(
              name,
              new Allowance(section.getRate(), section.getBurst()),
              OpeningHours.parse(section.getOpeningHours(), ZoneId.of(section.getTimeZone())),
              Set.copyOf(section.getDatabasesList()),
              Set.copyOf(section.getKeysList())));
    } catch (ValueFormatException e) {
      reader.report("customer " + name, "opening-hours", e.getMessage());
    }
  }
}
