// Package warm loads spare replicas of models and adapters into memory that placement leaves free.
package warm
