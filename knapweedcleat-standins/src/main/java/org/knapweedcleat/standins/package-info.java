/** Stand-ins for the outside systems, for tests and the demo; not shipped. */
package org.knapweedcleat.standins;
