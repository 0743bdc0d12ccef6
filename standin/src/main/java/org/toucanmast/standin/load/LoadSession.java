package org.toucanmast.standin.load;

import org.toucanmast.schema.LoadCustomerSection;

/** One session of a customer: its token, its key and whether a request of it is running. */
final class LoadSession {
  private static final int WRITES_PER_KEY = 40;

  private final String customer;
  private final LoadCustomerSection section;
  private final String name;
  private String token = "";
  private int generation;
  private int writes;
  private int requests;
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

  void setToken(String newToken) {
    if (newToken != null) {
      token = newToken;
    }
  }

  /** Starts anew after a lost write: a new session with a new key. */
  void reset() {
    token = "";
    generation++;
    writes = 0;
  }

  String key() {
    return name + "-" + generation;
  }

  String nextRequestId() {
    requests++;
    return key() + "." + requests;
  }

  void onWrite() {
    writes++;
    if (writes >= WRITES_PER_KEY) {
      generation++;
      writes = 0;
    }
  }

  boolean isBusy() {
    return busy;
  }

  void setBusy(boolean running) {
    busy = running;
  }
}
