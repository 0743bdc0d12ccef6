/** Session tokens and the check that an answer covers them. */
package org.toucanmast.core.session;
