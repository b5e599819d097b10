/** Stub of a plain endpoint that echoes and counts calls. */
package org.knapweedcleat.standins.plain;
