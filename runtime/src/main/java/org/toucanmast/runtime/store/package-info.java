/** Local mirrors of the objects in the object store, kept up to date by watches. */
package org.toucanmast.runtime.store;
