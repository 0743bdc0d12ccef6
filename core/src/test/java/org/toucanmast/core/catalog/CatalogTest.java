package org.toucanmast.core.catalog;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.toucanmast.core.access.KeyFingerprint;
import org.toucanmast.core.configuration.Allowance;
import org.toucanmast.core.statement.RouteKind;

class CatalogTest {
  private static Catalog catalogOfVersion(long version) {
    return new Catalog(version, Map.of(), Map.of(), Map.of(), 3_000);
  }

  @Test
  void should_never_be_replaced_by_an_older_version() {
    Catalog newer = catalogOfVersion(7);

    assertThat(newer.newest(catalogOfVersion(3))).isSameAs(newer);
    assertThat(newer.newest(catalogOfVersion(7))).isSameAs(newer);
  }

  @Test
  void should_be_replaced_by_a_newer_version() {
    assertThat(catalogOfVersion(3).newest(catalogOfVersion(7)).version()).isEqualTo(7);
  }

  @Test
  void should_count_the_keys_that_moved_to_another_customer() {
    Catalog former = catalogWithHolders(1, Map.of("a", "first", "b", "first", "c", "second"));
    Catalog present = catalogWithHolders(2, Map.of("a", "second", "b", "first", "d", "second"));

    assertThat(present.keysMovedSince(former)).isEqualTo(1);
  }

  private static Catalog catalogWithHolders(long version, Map<String, String> holders) {
    Map<KeyFingerprint, Customer> customers = new HashMap<>();
    holders.forEach(
        (key, name) ->
            customers.put(KeyFingerprint.of(key), new Customer(name, new Allowance(1, 1))));
    return new Catalog(version, Map.of(), customers, Map.of(), 3_000);
  }

  @Test
  void should_refuse_a_route_without_a_group() {
    assertThatThrownBy(() -> new Route("db", "", RouteKind.PRIMARY, 0, 1_000, 200, 1, false))
        .isInstanceOf(IllegalArgumentException.class)
        .hasMessageContaining("group");
  }
}
