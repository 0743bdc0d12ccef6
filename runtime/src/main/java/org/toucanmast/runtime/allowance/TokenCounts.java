package org.toucanmast.runtime.allowance;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.toucanmast.schema.TokenCount;

/** Numbers of tokens by customer, as messages carry them. */
public final class TokenCounts {
  private TokenCounts() {}

  /** Returns the messages for numbers by customer. */
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

  /** Returns the numbers by customer; of two messages for one customer the later counts. */
  public static Map<String, Integer> byCustomer(List<TokenCount> messages) {
    Map<String, Integer> counts = new HashMap<>();
    messages.forEach(each -> counts.put(each.getCustomer(), each.getCount()));
    return counts;
  }
}
