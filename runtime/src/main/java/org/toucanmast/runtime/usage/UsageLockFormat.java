package org.toucanmast.runtime.usage;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.toucanmast.core.usage.UsageLock;
import org.toucanmast.core.usage.UsageRecord;
import org.toucanmast.runtime.port.EntryFields;
import org.toucanmast.runtime.port.InvalidEntryException;

/** Converts the lock of the usage reports to and from the content of an object of the store. */
final class UsageLockFormat {
  private static final String HOLDER = "holder";
  private static final String PROCESS = "process";
  private static final String ERA = "era";
  private static final String FIRST_WINDOW = "first_window";
  private static final String RELEASED = "released";
  private static final String RECORDS = "records";
  private static final String WINDOW = "window";
  private static final String COUNTS = "counts";

  private UsageLockFormat() {}

  static JsonObject toJson(UsageLock lock) {
    JsonArray records = new JsonArray();
    for (UsageRecord each : lock.records()) {
      JsonObject counts = new JsonObject();
      each.counts().forEach(counts::put);
      records.add(new JsonObject().put(WINDOW, each.window()).put(COUNTS, counts));
    }
    return new JsonObject()
        .put(HOLDER, lock.vm())
        .put(PROCESS, lock.process())
        .put(ERA, lock.era())
        .put(FIRST_WINDOW, lock.firstWindow())
        .put(RELEASED, lock.released())
        .put(RECORDS, records);
  }

  /**
   * Parses a lock, which another writer may have changed.
   *
   * @param maximumWindow the last window that may be the first one to be recorded
   * @throws InvalidEntryException if the content is not a lock
   */
  static UsageLock fromJson(JsonObject content, long maximumWindow) throws InvalidEntryException {
    EntryFields fields = EntryFields.of(content);
    List<UsageRecord> records = new ArrayList<>();
    for (EntryFields each : fields.objects(RECORDS)) {
      EntryFields counts = each.object(COUNTS);
      TreeMap<String, Integer> read = new TreeMap<>();
      for (String customer : counts.content().fieldNames()) {
        read.put(customer, (int) counts.wholeNumber(customer, 0, Integer.MAX_VALUE));
      }
      records.add(new UsageRecord(each.wholeNumber(WINDOW, 0, maximumWindow), read));
    }
    return new UsageLock(
        fields.text(HOLDER),
        fields.text(PROCESS),
        fields.wholeNumber(ERA, 0, Long.MAX_VALUE),
        fields.wholeNumber(FIRST_WINDOW, 0, maximumWindow),
        fields.flag(RELEASED),
        records);
  }
}
