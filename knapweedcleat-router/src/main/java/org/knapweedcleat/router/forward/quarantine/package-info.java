/** Tells and hears under which parts of prompts engines crash. */
package org.knapweedcleat.router.forward.quarantine;
