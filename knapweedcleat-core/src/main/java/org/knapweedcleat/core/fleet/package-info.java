/** Finds the other instances by seeds and keeps track of them by the messages they send. */
package org.knapweedcleat.core.fleet;
