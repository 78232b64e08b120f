/** Public API: completions, models, files and batches. */
package io.pathdeck.serving.api;
