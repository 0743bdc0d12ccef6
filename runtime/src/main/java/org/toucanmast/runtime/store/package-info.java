/** Mirrors of what the object store holds, kept by watches. */
package org.toucanmast.runtime.store;
