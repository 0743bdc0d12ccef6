package org.toucanmast.runtime.port;

import io.vertx.core.json.JsonObject;
import java.util.Optional;
import org.toucanmast.core.catalog.Catalog;
import org.toucanmast.core.catalog.EndpointEntry;

/** Where the platform keeps what the proxy follows, and how to read it. */
public interface PlatformModel {
  /** Returns the kind of the object that holds the configuration. */
  String configurationKind();

  /** Returns the name of the object that holds the configuration. */
  String configurationName();

  /** Returns the kind of endpoints' entries. */
  String endpointKind();

  /** Returns the kind of the entries that name data centres which are taken out. */
  String takenOutKind();

  /** Returns the configuration; empty when it is not readable. */
  Optional<Catalog> catalog(JsonObject content);

  /** Returns an endpoint; empty when the entry names none that can be used. */
  Optional<EndpointEntry> endpoint(String name, JsonObject content);
}
