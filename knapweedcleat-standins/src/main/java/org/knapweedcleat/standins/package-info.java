/** Stubs of the external systems for tests and the demo; not part of the release. */
package org.knapweedcleat.standins;
