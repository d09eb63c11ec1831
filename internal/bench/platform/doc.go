// Package platform measures what the platform links of entry instances at rest cost the platform.
package platform
