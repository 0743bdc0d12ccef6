package org.toucanmast.integration;

import org.junit.platform.suite.api.ConfigurationParameter;
import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectPackages;
import org.junit.platform.suite.api.Suite;

/** Runs the Cucumber scenarios of {@code src/test/resources/features}. */
@Suite
@IncludeEngines("cucumber")
@SelectPackages("features")
@ConfigurationParameter(key = "cucumber.glue", value = "org.toucanmast.integration")
@ConfigurationParameter(key = "cucumber.plugin", value = "summary")
@ConfigurationParameter(key = "cucumber.publish.quiet", value = "true")
class ScenariosTest {}
