/** Finds parts of prompts under which engines crash, and the calls that must not be sent. */
package org.knapweedcleat.core.quarantine;
