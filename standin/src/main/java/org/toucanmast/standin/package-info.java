/**
 * Stand-ins for the external systems (platform and database groups), and the tools that drive them.
 * They serve trials, tests and measurements; no VM in production depends on them.
 */
package org.toucanmast.standin;
