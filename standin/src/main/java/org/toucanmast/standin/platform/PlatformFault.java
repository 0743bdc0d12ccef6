package org.toucanmast.standin.platform;

/** The ways in which the stand-in platform misbehaves. */
public enum PlatformFault {
  /** It works. */
  NONE,
  /** It closes every connection. */
  DOWN,
  /** It reads calls and never answers nor acts. */
  SILENT,
  /** It acts and answers late. */
  SLOW,
  /** It acts on changes and loses the answers. */
  LOST_ANSWERS
}
