/** A client that sends a bounded load and checks each answer. */
package org.knapweedcleat.standins.load;
