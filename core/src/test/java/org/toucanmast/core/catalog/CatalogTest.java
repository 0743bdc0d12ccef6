package org.toucanmast.core.catalog;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.toucanmast.core.statement.RouteKind;

class CatalogTest {
  private static Catalog version(long version) {
    return new Catalog(version, Map.of(), Map.of(), Map.of(), 3_000);
  }

  @Test
  void should_never_be_replaced_by_an_older_version() {
    Catalog newer = version(7);

    assertThat(newer.newest(version(3))).isSameAs(newer);
    assertThat(newer.newest(version(7))).isSameAs(newer);
  }

  @Test
  void should_be_replaced_by_a_newer_version() {
    assertThat(version(3).newest(version(7)).version()).isEqualTo(7);
  }

  @Test
  void should_refuse_a_route_without_a_group() {
    assertThatThrownBy(() -> new Route("db", "", RouteKind.PRIMARY, 0, 1_000, 1, false))
        .isInstanceOf(IllegalArgumentException.class)
        .hasMessageContaining("group");
  }
}
