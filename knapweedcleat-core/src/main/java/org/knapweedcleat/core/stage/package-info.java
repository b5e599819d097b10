/** Divides the engines of a service between reading prompts and producing tokens. */
package org.knapweedcleat.core.stage;
