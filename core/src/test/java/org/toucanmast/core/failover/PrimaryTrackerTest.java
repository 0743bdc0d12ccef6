package org.toucanmast.core.failover;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.toucanmast.core.catalog.EndpointEntry;

class PrimaryTrackerTest {
  private final PrimaryTracker tracker = new PrimaryTracker();

  private static EndpointEntry entry(String id, boolean claimsPrimary) {
    return new EndpointEntry(id, "group", "10.0.0.1", 80, "a", 3, false, claimsPrimary, 1);
  }

  @Test
  void should_use_claim_while_no_primary_is_confirmed() {
    tracker.onEntry(entry("a", false));
    tracker.onEntry(entry("b", true));

    assertThat(tracker.primary()).contains("b");
  }

  @Test
  void should_prefer_confirmed_primary_to_a_claim() {
    tracker.onEntry(entry("b", true));
    tracker.onPrimaryConfirmed("a", 4);

    assertThat(tracker.primary()).contains("a");
  }

  @Test
  void should_know_no_primary_after_a_refusal() {
    tracker.onEntry(entry("b", true));
    tracker.onPrimaryConfirmed("b", 3);
    tracker.onPrimaryRefuted("b");

    assertThat(tracker.primary()).isEmpty();
  }

  @Test
  void should_ignore_confirmation_of_an_older_term() {
    tracker.onPrimaryConfirmed("b", 4);
    tracker.onPrimaryConfirmed("a", 3);

    assertThat(tracker.primary()).contains("b");
  }

  @Test
  void should_use_new_claim_of_an_endpoint_that_refused_before() {
    tracker.onEntry(entry("a", false));
    tracker.onPrimaryRefuted("a");
    tracker.onEntry(entry("a", true));

    assertThat(tracker.primary()).contains("a");
  }

  @Test
  void should_know_no_primary_after_its_endpoint_was_removed() {
    tracker.onEntry(entry("a", true));
    tracker.onPrimaryConfirmed("a", 3);
    tracker.onEndpointRemoved("a");

    assertThat(tracker.primary()).isEmpty();
  }
}
