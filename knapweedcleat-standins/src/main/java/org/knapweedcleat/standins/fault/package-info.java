/** Faults that a test orders, what the stand-ins share, and how they answer. */
package org.knapweedcleat.standins.fault;
