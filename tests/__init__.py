"""Tests of tamarackturn."""
