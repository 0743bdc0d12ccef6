/** Statements of sessions, and what may be said about their outcome. */
package org.toucanmast.core.statement;
