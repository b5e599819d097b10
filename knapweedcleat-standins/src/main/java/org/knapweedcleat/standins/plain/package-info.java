/** A plain service that echoes calls and counts each. */
package org.knapweedcleat.standins.plain;
