/** Tests with separate processes that are killed, paused and disconnected from each other. */
package org.knapweedcleat.standins.process;
