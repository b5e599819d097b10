/** Tests with real processes that are killed, paused and cut off. */
package org.knapweedcleat.standins.process;
