/**
 * Session tokens, the check that an answer covers the positions in a token, and what a session
 * keeps for its caller.
 */
package org.toucanmast.core.session;
