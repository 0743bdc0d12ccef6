/** Statements of sessions, the commands that endpoints receive for them, and their results. */
package org.toucanmast.core.statement;
