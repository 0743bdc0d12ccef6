/** Session tokens, and the check that an answer covers the positions in a token. */
package org.toucanmast.core.session;
