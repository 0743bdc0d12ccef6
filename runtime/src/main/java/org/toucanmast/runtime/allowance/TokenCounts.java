package org.toucanmast.runtime.allowance;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.toucanmast.schema.TokenCount;

/** Converts token counts by customer to and from peer messages. */
public final class TokenCounts {
  private TokenCounts() {}

  /** Returns one message per customer. */
  public static List<TokenCount> of(Map<String, Integer> counts) {
    return counts.entrySet().stream()
        .map(
            each ->
                TokenCount.newBuilder()
                    .setCustomer(each.getKey())
                    .setCount(each.getValue())
                    .build())
        .toList();
  }

  /**
   * Returns the token counts by customer; of several messages for one customer the last is used.
   */
  public static Map<String, Integer> byCustomer(List<TokenCount> messages) {
    Map<String, Integer> counts = new HashMap<>();
    messages.forEach(each -> counts.put(each.getCustomer(), each.getCount()));
    return counts;
  }
}
