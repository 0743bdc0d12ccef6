package org.toucanmast.standin.load;

import org.toucanmast.schema.LoadCustomerSection;

/** A session of a simulated caller, which has at most one request in flight. */
final class LoadSession {
  private static final int WRITES_PER_KEY = 40;

  private final String customer;
  private final LoadCustomerSection section;
  private final String name;
  private String token = "";
  private int keyNumber;
  private int writesOfKey;
  private int requestCount;
  private boolean busy;

  LoadSession(String customer, LoadCustomerSection section, int number) {
    this.customer = customer;
    this.section = section;
    this.name = customer + "-" + number;
  }

  String customer() {
    return customer;
  }

  LoadCustomerSection section() {
    return section;
  }

  String name() {
    return name;
  }

  String token() {
    return token;
  }

  /** Replaces the session token; null keeps the current one. */
  void setToken(String receivedToken) {
    if (receivedToken != null) {
      token = receivedToken;
    }
  }

  /** Drops the session token and moves on to a new key, after the proxy reported a lost write. */
  void reset() {
    token = "";
    keyNumber++;
    writesOfKey = 0;
  }

  /** Returns the key that the session currently writes and reads. */
  String key() {
    return name + "-" + keyNumber;
  }

  String nextRequestId() {
    requestCount++;
    return key() + "." + requestCount;
  }

  /** Counts a write and moves on to a new key after {@value #WRITES_PER_KEY} of them. */
  void onWrite() {
    writesOfKey++;
    if (writesOfKey >= WRITES_PER_KEY) {
      keyNumber++;
      writesOfKey = 0;
    }
  }

  boolean isBusy() {
    return busy;
  }

  void setBusy(boolean running) {
    busy = running;
  }
}
