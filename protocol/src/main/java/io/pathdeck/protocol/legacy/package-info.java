/**
 * Earlier forms of stored records, kept so that logs and snapshots of older versions stay readable.
 *
 * <p>The codec writes the components of a record without their names, so the components of a stored
 * record never change. A form that has to grow is copied here, where it keeps its registered
 * position, and the new form is registered at the end of the list.
 */
package io.pathdeck.protocol.legacy;
