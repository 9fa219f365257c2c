package org.ragwortmoor.demo;

/**
 * What the demonstration saw of one promise.
 *
 * @param promise the promise
 * @param held whether it held
 * @param seen what was seen
 */
public record DemoResult(String promise, boolean held, String seen) {}
