package org.toucanmast.core.mirror;

/** An object of the store, as far as mirrors need to know it. */
public interface MirroredObject {
  /** Returns the name, unique within the kind. */
  String name();

  /** Returns the store's revision of the object's last change. */
  long revision();

  /** Returns about how many bytes of the heap the object takes. */
  long heapBytes();

  /** Returns whether another object has the same content. */
  boolean hasContentOf(MirroredObject other);
}
